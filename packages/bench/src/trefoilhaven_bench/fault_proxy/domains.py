"""Names of failure domains with a meaning of their own."""

from typing import Final

# Stands for any failure domain, and for a sender that none lists.
ANY_DOMAIN: Final = '*'
