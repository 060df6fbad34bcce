package figdeck.command.dispatch

import figdeck.model.Refusal
import figdeck.model.Upstream

/** What a decision changes for the holder of a ticket. */
public sealed interface DispatchEffect {
    /** The ticket it concerns. */
    public val ticket: Long

    /** The ticket holds a slot at [upstream] from now on. */
    public data class Granted(override val ticket: Long, public val upstream: Upstream) : DispatchEffect

    /** The holder must give its slot back at once. */
    public data class Revoked(override val ticket: Long) : DispatchEffect

    /** The ticket gets no slot. */
    public data class Refused(override val ticket: Long, public val refusal: Refusal) : DispatchEffect
}
