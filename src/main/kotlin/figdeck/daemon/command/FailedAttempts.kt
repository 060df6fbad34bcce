package figdeck.daemon.command

import figdeck.model.MayHaveRun
import figdeck.model.Refusal
import figdeck.model.UpstreamId
import figdeck.upstream.command.EngineResult

private const val REQUEST_TIMEOUT = 408
private const val TOO_MANY = 429
private const val FIRST_CLIENT_ERROR = 400
private const val FIRST_SERVER_ERROR = 500

/**
 * What the attempts of one request have come to so far.
 *
 * @property failed the upstreams that failed it.
 * @property lastLost the upstream that was lost last after it got the work; null while nothing can have run.
 */
internal data class FailedAttempts(
    val failed: Set<UpstreamId> = emptySet(),
    val lastLost: UpstreamId? = null,
) {
    fun notRun(upstream: UpstreamId): FailedAttempts = copy(failed = failed + upstream)

    fun lost(upstream: UpstreamId): FailedAttempts = FailedAttempts(failed + upstream, upstream)

    /** [refusal] as it may be told to the caller: once an attempt's effect is unknown, nothing says `ran: no`. */
    fun truthful(refusal: Refusal): Refusal =
        if (lastLost != null && refusal.ran == MayHaveRun.NO) Refusal.UpstreamLost(lastLost) else refusal
}

/** Whether the engine refused the item itself, so that no other engine would take it. */
internal val EngineResult.Refused.isItemFault: Boolean
    get() = status in FIRST_CLIENT_ERROR until FIRST_SERVER_ERROR && status != REQUEST_TIMEOUT && status != TOO_MANY
