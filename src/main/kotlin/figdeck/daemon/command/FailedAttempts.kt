package figdeck.daemon.command

import figdeck.model.Ran
import figdeck.model.Refusal
import figdeck.model.UpstreamId
import figdeck.upstream.command.EngineResult

private const val REQUEST_TIMEOUT = 408
private const val RATE_LIMITED = 429
private const val FIRST_CLIENT_ERROR = 400
private const val FIRST_SERVER_ERROR = 500

/**
 * What the attempts of one request have come to so far.
 *
 * @property failed the upstreams that failed it.
 * @property lastLostUpstream the upstream that was lost last after it got the work; null while nothing can have run.
 */
internal data class FailedAttempts(
    val failed: Set<UpstreamId> = emptySet(),
    val lastLostUpstream: UpstreamId? = null,
) {
    fun withNotRun(upstream: UpstreamId): FailedAttempts = copy(failed = failed + upstream)

    fun withLost(upstream: UpstreamId): FailedAttempts = FailedAttempts(failed + upstream, upstream)

    /** [refusal] as it may be told to the caller: once an attempt's effect is unknown, nothing says `ran: no`. */
    fun reportableRefusal(refusal: Refusal): Refusal =
        if (lastLostUpstream != null && refusal.ran == Ran.NO) Refusal.UpstreamLost(lastLostUpstream) else refusal
}

/** Whether the engine refused the item itself, so that no other engine would take it. */
internal val EngineResult.Refused.isRefusedItem: Boolean
    get() = status in FIRST_CLIENT_ERROR until FIRST_SERVER_ERROR && status != REQUEST_TIMEOUT && status != RATE_LIMITED
