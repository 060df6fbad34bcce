package figdeck.daemon.command

import figdeck.command.Step
import figdeck.command.journal.JournalState
import figdeck.command.journal.claimFailed
import figdeck.command.journal.claimed
import figdeck.command.journal.groupInterval
import figdeck.command.journal.journalKey
import figdeck.control.Control
import figdeck.control.ControlState
import figdeck.control.changeJournal
import figdeck.log.PartLog
import figdeck.model.CallResult
import figdeck.model.Epoch
import figdeck.model.HostId
import figdeck.model.JournalOwner
import figdeck.model.RowCheck
import figdeck.platform.Platform
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

private val HOSTS_INTERVAL = 5.seconds
private val log = PartLog("journal")

/** Holds this host's journal and takes over those of the hosts that [lostHosts] tells, until cancelled. */
internal suspend fun Services.keepJournal(
    platform: Platform,
    groups: GroupCommit,
    lostHosts: suspend () -> List<HostId>,
    newIncarnation: () -> String,
): Unit = coroutineScope {
    launch { holdJournal(platform, groups, newIncarnation) }
    launch { takeOverJournals(platform, lostHosts, newIncarnation) }
    launch { paceJournal(platform, control) }
}

/** Claims this host's journal, recovers what its former owner left open and writes the journal until cancelled. */
internal suspend fun Services.holdJournal(
    platform: Platform,
    groups: GroupCommit,
    newIncarnation: () -> String,
): Unit = coroutineScope {
    val host = control.snapshot.host
    groups.run {
        claimJournal(platform, host, JournalOwner(host, newIncarnation())).fold(
            { failure ->
                log.debug { "the journal could not be claimed: ${failure.reason}" }
                control.run { state, now -> changeJournal(state) { Step(claimFailed(it, now), Unit) } }
            },
            { version ->
                log.info { "the journal of host $host is claimed at epoch $version" }
                control.run { state, _ -> changeJournal(state) { Step(claimed(it, host, version), Unit) } }
                val left = LeftOpen(host, RowCheck(journalKey(host), version), Epoch(version))
                launch { recover(platform, left) }
            },
        )
    }
}

/** Keeps the time between groups in step with the number of hosts, until cancelled. */
internal suspend fun paceJournal(
    platform: Platform,
    control: Control<ControlState>,
    pause: Duration = HOSTS_INTERVAL,
) {
    while (true) {
        val listed = platform.queries.listHosts()
        if (listed is CallResult.Done) {
            val interval = groupInterval(listed.value.size)
            control.run { state, _ ->
                changeJournal(
                    state
                ) { Step<JournalState, Unit>(it.copy(interval = interval), Unit) }
            }
        }
        delay(pause)
    }
}
