"""Events about the detections of a balancer."""

from trefoilhaven_core.membership.detectors import Detections
from trefoilhaven_core.telemetry.runtimes import ProcessRuntime


def publish_detections(runtime: ProcessRuntime, detections: Detections) -> None:
    """Publish an event for each change of state that this balancer detected.

    A silent failure domain has one event for each service with members
    there, since its members have none of their own.
    """
    for report in detections.silent_domains:
        for service in report.services:
            runtime.publish(
                'failure domain silent',
                service,
                detail=report.failure_domain,
            )
    for member in detections.members:
        runtime.publish(
            f'target {member.state.name}',
            member.service,
            host=member.target,
        )
    for balancer in detections.balancers:
        runtime.publish(f'balancer {balancer.state.name}', host=balancer.name)
