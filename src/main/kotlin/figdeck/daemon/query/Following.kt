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

private const val MAX_QUESTIONS = 6
private val POLL_INTERVAL = 500.milliseconds
private val POLL_INTERVAL_PER_HOST = 2.5.milliseconds
private val DOUBT_AFTER = 600.milliseconds
private val ASK_INTERVAL = 400.milliseconds

/**
 * Following the configuration.
 *
 * @property peers the other daemons known at present.
 * @property nudges wakes the poll of the table at once.
 */
internal data class Following(
    val queries: StoreQueries,
    val control: Control<ControlState>,
    val clock: Clock,
    val peers: () -> List<Peer>,
    val peerConfiguration: PeerConfigurationClient,
    val nudges: Channel<Unit> = Channel(Channel.CONFLATED),
)

/**
 * Keeps the control state at the configuration of the platform's table, until cancelled. A question that is answered
 * late doesn't hold back the next one.
 */
internal suspend fun Following.followTable(): Unit = coroutineScope {
    val questions = Semaphore(MAX_QUESTIONS)
    while (true) {
        if (questions.tryAcquire()) {
            launch {
                try {
                    poll()
                } finally {
                    questions.release()
                }
            }
        }
        withTimeoutOrNull(pollInterval(peers().size)) { nudges.receive() }
    }
}

/** While the table is in doubt, asks the peers what they know of the configuration and of the table. */
internal suspend fun Following.followPeers() {
    while (true) {
        delay(ASK_INTERVAL)
        val state = control.snapshot
        // A host that has not read the host rows yet would take itself for the whole fleet.
        if (state.follow.tableInDoubt && state.fleet.ownership.hosts.isNotEmpty()) {
            askPeers()
        }
    }
}

/** Keeps the table's share of questions in bounds as the fleet grows. */
private fun pollInterval(peers: Int): Duration = maxOf(POLL_INTERVAL, POLL_INTERVAL_PER_HOST * peers)

private suspend fun Following.poll() = coroutineScope {
    val doubt = launch {
        delay(DOUBT_AFTER)
        control.run { state, _ -> recordTableState(state, inDoubt = true) }
    }
    val result = catchUp(queries, control, clock)
    doubt.cancel()
    control.run { state, _ -> recordTableState(state, inDoubt = result !is CallResult.Done) }
}

private suspend fun Following.askPeers() = coroutineScope {
    val asked = clock()
    val known = peers()
    val ours = control.snapshot.configuration.revision
    val answers = known.map { peer -> async { peerConfiguration.ask(peer.address, ours) } }.awaitAll().filterNotNull()
    control.run { state, _ -> applyPeerViews(state, known.size, answers, asked) }
}
