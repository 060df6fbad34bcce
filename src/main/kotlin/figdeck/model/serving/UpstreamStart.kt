package figdeck.model.serving

import figdeck.model.UpstreamId

/**
 * One start of an upstream, which may start again under its id. What a host learns of one start says nothing about the
 * next.
 *
 * @property startedAtMillis when it started, in Unix milliseconds, by its own clock; null if it doesn't say so.
 */
public data class UpstreamStart(
    public val id: UpstreamId,
    public val startedAtMillis: Long?,
)
