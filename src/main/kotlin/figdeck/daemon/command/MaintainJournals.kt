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
 * Holds this host's journal, takes over those of the hosts that [fleet] tells and clears expired results, until
 * cancelled.
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

/** Claims this host's journal, recovers what its former owner left open and writes the journal until cancelled. */
internal suspend fun Services.writeOwnJournal(
    platform: Store,
    groups: GroupCommit,
    newIncarnation: () -> String,
    isLeased: () -> Boolean = { true },
): Unit = coroutineScope {
    val host = control.snapshot.host
    groups.run {
        val owner = JournalOwner(host, newIncarnation())
        val claim = if (isLeased()) claimJournal(platform, host, owner) else ClaimFailure("no lease yet").left()
        claim.fold(
            { failure ->
                log.debug { "the journal could not be claimed: ${failure.reason}" }
                control.run { state, now -> changeJournal(state) { Step(claimFailed(it, now), Unit) } }
            },
            { version ->
                log.info { "the journal of host $host is claimed at epoch $version" }
                control.run { state, _ -> changeJournal(state) { Step(claimed(it, host, version), Unit) } }
                val abandoned = AbandonedRequests(host, RowCheck(journalKey(host), version), Epoch(version))
                launch { recover(platform, abandoned) }
            },
        )
    }
}

/** Keeps the time between groups in step with the number of hosts, until cancelled. */
private suspend fun adjustGroupInterval(control: Control<ControlState>, hostCount: () -> Int) {
    while (true) {
        val interval = groupInterval(hostCount().coerceAtLeast(1))
        control.run { state, _ -> changeJournal(state) { Step(it.copy(interval = interval), Unit) } }
        delay(HOST_COUNT_INTERVAL)
    }
}
