package figdeck.command.dispatch

import figdeck.model.Refusal
import figdeck.model.Upstream
import kotlin.time.Duration

/** The effect of a dispatch decision on one ticket. */
public sealed interface DispatchEffect {
    /** The affected ticket. */
    public val ticket: Long

    /**
     * The ticket now holds a slot at [upstream].
     *
     * @property answerWithin how long to wait for the answer to begin if the request probes the upstream, else null.
     */
    public data class Granted(
        override val ticket: Long,
        public val upstream: Upstream,
        public val answerWithin: Duration? = null,
    ) : DispatchEffect

    /** The holder must return its slot immediately. */
    public data class Revoked(override val ticket: Long) : DispatchEffect

    /**
     * The request is refused a slot.
     *
     * @property refusal what its caller is told.
     * @property cause the decision behind it.
     */
    public data class Refused(
        override val ticket: Long,
        public val refusal: Refusal,
        public val cause: SlotRefusal,
    ) : DispatchEffect
}
