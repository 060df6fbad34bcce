package figdeck.command.serving

import figdeck.model.Upstream
import figdeck.model.UpstreamKind

/** A plain service crashes if the requests that it holds exceed its memory. */
private const val SERVICE_BODY_BYTES = 8L * 1024 * 1024

/** Whether a body of [bytes] may be sent to [upstream] beside bodies of [inFlight] bytes in all. */
public fun fitsInFlight(upstream: Upstream, bytes: Long, inFlight: Long): Boolean =
    upstream.kind != UpstreamKind.SERVICE || inFlight + bytes <= SERVICE_BODY_BYTES
