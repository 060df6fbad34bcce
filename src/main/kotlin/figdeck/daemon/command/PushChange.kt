package figdeck.daemon.command

import figdeck.model.ConfigurationChange
import figdeck.model.HostId
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope

private const val PUSH_ATTEMPTS = 2

/**
 * How far a change has propagated.
 *
 * @property hosts the number of known hosts, including this one.
 * @property missing the hosts that have not confirmed that the change is in force.
 */
internal data class Propagation(
    val hosts: Int,
    val missing: List<HostId>,
)

/** Sends [change] to all [peers] concurrently and returns which of them have not confirmed it. */
internal suspend fun PeerConfigurationClient.propagate(change: ConfigurationChange, peers: List<Peer>): Propagation =
    coroutineScope {
        val inForce = peers.map { peer -> async { pushTo(peer, change) } }.awaitAll()
        val missing = peers.zip(inForce).filterNot { (_, isInForce) -> isInForce }.map { (peer, _) -> peer.host }
        Propagation(peers.size + 1, missing)
    }

private suspend fun PeerConfigurationClient.pushTo(peer: Peer, change: ConfigurationChange): Boolean {
    repeat(PUSH_ATTEMPTS) {
        val view = push(peer.address, listOf(change))
        if (view != null && view.revision >= change.revision) {
            return true
        }
    }
    return false
}
