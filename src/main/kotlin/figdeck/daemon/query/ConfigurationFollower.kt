package figdeck.daemon.query

import figdeck.control.Control
import figdeck.control.ControlState
import figdeck.control.applyPeerViews
import figdeck.control.recordTableState
import figdeck.daemon.command.Peer
import figdeck.daemon.command.PeerConfigurationClient
import figdeck.model.CallResult
import figdeck.model.Clock
import figdeck.store.query.StoreQueries
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private const val MAX_CONCURRENT_POLLS = 6
private val POLL_INTERVAL = 500.milliseconds
private val POLL_INTERVAL_PER_HOST = 2.5.milliseconds
private val TABLE_DOUBT_DELAY = 600.milliseconds
private val PEER_POLL_INTERVAL = 400.milliseconds

/**
 * Keeps the control state at the newest configuration.
 *
 * @property peers the other daemons that are currently known.
 * @property pollTriggers triggers a poll of the table at once.
 */
internal data class ConfigurationFollower(
    val queries: StoreQueries,
    val control: Control<ControlState>,
    val clock: Clock,
    val peers: () -> List<Peer>,
    val peerConfiguration: PeerConfigurationClient,
    val pollTriggers: Channel<Unit> = Channel(Channel.CONFLATED),
)

/**
 * Polls the platform's table and applies configuration changes to the control state, until cancelled. A slow reply
 * doesn't delay the next poll.
 */
internal suspend fun ConfigurationFollower.pollTable(): Unit = coroutineScope {
    val pollPermits = Semaphore(MAX_CONCURRENT_POLLS)
    while (true) {
        if (pollPermits.tryAcquire()) {
            launch {
                try {
                    pollOnce()
                } finally {
                    pollPermits.release()
                }
            }
        }
        withTimeoutOrNull(pollInterval(peers().size)) { pollTriggers.receive() }
    }
}

/** While the table is in doubt, asks the peers for their views of the configuration and of the table. */
internal suspend fun ConfigurationFollower.pollPeers() {
    while (true) {
        delay(PEER_POLL_INTERVAL)
        val state = control.snapshot
        // Before it has read the host rows, a host would treat itself as the whole fleet.
        if (state.follow.tableInDoubt && state.fleet.ownership.hosts.isNotEmpty()) {
            exchangeViews()
        }
    }
}

/** Lengthens the interval with the number of [peers], which bounds the load on the table as the fleet grows. */
private fun pollInterval(peers: Int): Duration = maxOf(POLL_INTERVAL, POLL_INTERVAL_PER_HOST * peers)

private suspend fun ConfigurationFollower.pollOnce() = coroutineScope {
    val doubtTimer = launch {
        delay(TABLE_DOUBT_DELAY)
        control.run { state, _ -> recordTableState(state, inDoubt = true) }
    }
    val result = catchUp(queries, control, clock)
    doubtTimer.cancel()
    control.run { state, _ -> recordTableState(state, inDoubt = result !is CallResult.Done) }
}

private suspend fun ConfigurationFollower.exchangeViews() = coroutineScope {
    val askedAt = clock()
    val knownPeers = peers()
    val ownRevision = control.snapshot.configuration.revision
    val answers = knownPeers
        .map { peer -> async { peerConfiguration.ask(peer.address, ownRevision) } }
        .awaitAll()
        .filterNotNull()
    control.run { state, _ -> applyPeerViews(state, knownPeers.size, answers, askedAt) }
}
