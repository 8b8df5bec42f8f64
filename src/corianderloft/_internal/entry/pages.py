"""Contents of the pages on the operator port."""

import typing

from corianderloft._internal.entry import components as host_components
from corianderloft._internal.entry import drain
from corianderloft._internal.metrics import exposition


def metrics(accept: str | None) -> tuple[bytes, bytes]:
    """Return content type and body of ``/metrics``."""
    accepted = exposition.DEFAULT_ACCEPT if accept is None else (accept,)
    body, headers = exposition.expose(accepted)
    return headers['Content-Type'].encode('ascii'), body


def status(
    components: host_components.HostComponents,
    drain_controller: drain.DrainController,
) -> dict[str, typing.Any]:
    """Return the status of this host for JSON output."""
    shared = components.shared
    return {
        'host_id': components.settings.host.host_id,
        'state': drain_controller.state.value,
        'in_flight': len(components.inflight),
        'answers_kept': len(components.responses),
        'revision': shared.current_catalog().revision,
        'configuration_fresh': shared.configuration_fresh(),
        'hosts': [
            {
                'host_id': host.host_id,
                'incarnation': host.incarnation,
                'address': host.address,
                'caller_port': host.caller_port,
                'failure_domain': host.failure_domain,
                'state': host.state.value,
                'revision': host.revision,
            }
            for host in shared.live_hosts()
        ],
        'services': [
            {
                'service': template.name,
                'kind': template.kind.value,
                'classes': [str(c.name) for c in template.classes],
                'suppliers': [str(r.supplier) for r in template.routes],
            }
            for template in shared.current_catalog().services
        ],
        'queues': [
            {
                'service': queue.service,
                'tier': queue.tier,
                'waiting': queue.waiting,
                'oldest_s': queue.oldest,
            }
            for queue in components.dispatcher.queue_states()
        ],
        'backends': [
            {
                'engine_id': backend.engine_id,
                'service': backend.service,
                'supplier': backend.supplier,
                'model': backend.model,
                'address': backend.address,
                'port': backend.port,
                'state': backend.state.value,
            }
            for backend in shared.current_backends()
        ],
    }
