package figdeck.control

import figdeck.command.ownership.HostLease
import kotlin.time.Duration

/** The result of taking a token for a request from the tokens on this host. */
internal sealed interface TokenResult {
    /** One token was taken. */
    data object Taken : TokenResult

    /** This host owns the team's bucket, which is empty for the next [wait]. */
    data class Wait(val wait: Duration) : TokenResult

    /** A token must be drawn from one of [owners], the most likely first; empty if no owner is known. */
    data class AskOwners(val owners: List<HostLease>) : TokenResult
}
