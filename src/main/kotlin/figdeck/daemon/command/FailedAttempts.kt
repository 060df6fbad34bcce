package figdeck.daemon.command

import figdeck.model.MayHaveRun
import figdeck.model.Refusal
import figdeck.model.UpstreamId
import figdeck.upstream.command.EngineResult

private const val REQUEST_TIMEOUT = 408
private const val RATE_LIMITED = 429
private const val FIRST_CLIENT_ERROR = 400
private const val FIRST_SERVER_ERROR = 500

/**
 * The failed attempts of one request so far.
 *
 * @property failed the upstreams that failed to serve the request.
 * @property lastLostUpstream the last upstream that was lost after it received the request; null while no attempt can
 * have run.
 */
internal data class FailedAttempts(
    val failed: Set<UpstreamId> = emptySet(),
    val lastLostUpstream: UpstreamId? = null,
) {
    fun withNotRun(upstream: UpstreamId): FailedAttempts = copy(failed = failed + upstream)

    fun withLost(upstream: UpstreamId): FailedAttempts = FailedAttempts(failed + upstream, upstream)

    /**
     * Returns the refusal to report instead of [refusal]. Once the effect of an attempt is unknown, the caller must not
     * be told `ran: no`.
     */
    fun reportableRefusal(refusal: Refusal): Refusal =
        if (lastLostUpstream != null && refusal.ran == MayHaveRun.NO) {
            Refusal.UpstreamLost(lastLostUpstream)
        } else {
            refusal
        }
}

/**
 * Whether the engine refused the item as invalid, so that every other engine would refuse it too. A 408 or a 429 is a
 * refusal by a slow or busy engine.
 */
internal val EngineResult.Refused.isInvalidItem: Boolean
    get() = status in FIRST_CLIENT_ERROR until FIRST_SERVER_ERROR && status != REQUEST_TIMEOUT && status != RATE_LIMITED
