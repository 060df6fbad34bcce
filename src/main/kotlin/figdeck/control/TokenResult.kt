package figdeck.control

import figdeck.command.ownership.HostLease
import kotlin.time.Duration

/** Whether a request may start by what this host has. */
internal sealed interface TokenResult {
    /** One token was taken. */
    data object Taken : TokenResult

    /** The team's bucket, which is here, is empty for [wait]. */
    data class Wait(val wait: Duration) : TokenResult

    /** A token has to be drawn from one of [owners], the likeliest first; none is known when it is empty. */
    data class AskOwners(val owners: List<HostLease>) : TokenResult
}
