package figdeck.daemon.command

import figdeck.model.ConfigurationChange
import figdeck.model.HostId
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope

private const val PUSH_TRIES = 2

/** How far a change has come: the [hosts] known, and those that have not [missing] answered that it is in force. */
internal data class Spread(
    val hosts: Int,
    val missing: List<HostId>,
)

/** Sends [change] to all [peers] at once and tells who has it in force. */
internal suspend fun PeerConfiguration.spread(change: ConfigurationChange, peers: List<Peer>): Spread =
    coroutineScope {
        val reached = peers.map { peer -> async { pushTo(peer, change) } }.awaitAll()
        val missing = peers.zip(reached).filterNot { (_, has) -> has }.map { (peer, _) -> peer.host }
        Spread(peers.size + 1, missing)
    }

private suspend fun PeerConfiguration.pushTo(peer: Peer, change: ConfigurationChange): Boolean {
    repeat(PUSH_TRIES) {
        val view = push(peer.address, listOf(change))
        if (view != null && view.revision >= change.revision) {
            return true
        }
    }
    return false
}
