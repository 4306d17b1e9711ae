"""Reserved names of failure domains."""

from typing import Final

# Matches any failure domain; also the domain of an unlisted sender.
ANY_DOMAIN: Final = '*'
