package figdeck.daemon.command

import arrow.core.left
import figdeck.command.Step
import figdeck.command.journal.claimFailed
import figdeck.command.journal.claimed
import figdeck.command.journal.groupInterval
import figdeck.command.journal.journalKey
import figdeck.control.Control
import figdeck.control.ControlState
import figdeck.control.changeJournal
import figdeck.log.PartLog
import figdeck.model.Epoch
import figdeck.model.JournalOwner
import figdeck.model.RowCheck
import figdeck.store.Store
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlin.time.Duration.Companion.seconds

private val HOST_COUNT_INTERVAL = 5.seconds
private val log = PartLog("journal")

/**
 * Writes the journal of this host, takes over the journals of the lost hosts that [fleet] returns and deletes expired
 * results, until cancelled.
 */
internal suspend fun Services.maintainJournals(
    platform: Store,
    groups: GroupCommit,
    fleet: JournalFleetView,
    newIncarnation: () -> String,
): Unit = coroutineScope {
    launch { writeOwnJournal(platform, groups, newIncarnation, fleet.isLeased) }
    launch { takeOverJournals(platform, fleet.lostHosts, newIncarnation) }
    launch { adjustGroupInterval(control, fleet.hostCount) }
    launch { expireResults(platform) }
}

/**
 * Claims the journal of this host, recovers the requests that its previous owner left open and writes the journal until
 * cancelled.
 */
internal suspend fun Services.writeOwnJournal(
    platform: Store,
    groups: GroupCommit,
    newIncarnation: () -> String,
    isLeased: () -> Boolean = { true },
): Unit = coroutineScope {
    val host = control.snapshot.host
    groups.run {
        val owner = JournalOwner(host, newIncarnation())
        val claim = if (isLeased()) claimJournal(platform, host, owner) else ClaimFailure("no valid lease").left()
        claim.fold(
            { failure ->
                log.debug { "could not claim the journal: ${failure.reason}" }
                control.run { state, now -> changeJournal(state) { Step(claimFailed(it, now), Unit) } }
            },
            { version ->
                log.info { "claimed the journal of host $host at epoch $version" }
                control.run { state, _ -> changeJournal(state) { Step(claimed(it, host, version), Unit) } }
                val abandoned = AbandonedRequests(host, RowCheck(journalKey(host), version), Epoch(version))
                launch { recover(platform, abandoned) }
            },
        )
    }
}

/** Adjusts the interval between groups to the number of hosts, until cancelled. */
private suspend fun adjustGroupInterval(control: Control<ControlState>, hostCount: () -> Int) {
    while (true) {
        val interval = groupInterval(hostCount().coerceAtLeast(1))
        control.run { state, _ -> changeJournal(state) { Step(it.copy(interval = interval), Unit) } }
        delay(HOST_COUNT_INTERVAL)
    }
}
