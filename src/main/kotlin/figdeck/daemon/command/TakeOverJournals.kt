package figdeck.daemon.command

import figdeck.command.journal.journalKey
import figdeck.command.journal.markerKey
import figdeck.command.journal.mayTakeOver
import figdeck.log.PartLog
import figdeck.model.CallResult
import figdeck.model.Epoch
import figdeck.model.HostId
import figdeck.model.JournalOwner
import figdeck.model.RowCheck
import figdeck.model.RowWrite
import figdeck.model.TableTransaction
import figdeck.store.Store
import figdeck.wire.decodeJournalOwner
import kotlinx.coroutines.delay
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

private val TAKEOVER_CHECK_INTERVAL = 1.seconds
private val log = PartLog("recovery")

/** Takes over the journals of the hosts that [lostHosts] returns, one after another, until cancelled. */
internal suspend fun Services.takeOverJournals(
    platform: Store,
    lostHosts: suspend () -> List<HostId>,
    newIncarnation: () -> String,
    pause: Duration = TAKEOVER_CHECK_INTERVAL,
) {
    while (true) {
        val lost = lostHosts().toSet()
        lost.forEach { takeOver(platform, it, lost, newIncarnation) }
        delay(pause)
    }
}

private suspend fun Services.takeOver(
    platform: Store,
    host: HostId,
    lost: Set<HostId>,
    newIncarnation: () -> String,
) {
    val self = control.snapshot.host
    val row = (platform.queries.readRow(journalKey(host)) as? CallResult.Done)?.value?.value ?: return
    if (mayTakeOver(self, host, decodeJournalOwner(row.value), lost)) {
        val owner = JournalOwner(self, newIncarnation())
        replaceOwner(platform, host, row, owner).onRight { version ->
            log.info { "host $self took over the journal of host $host at epoch $version" }
            val abandoned = AbandonedRequests(host, RowCheck(journalKey(host), version), Epoch(version))
            if (recover(platform, abandoned)) {
                closeJournal(platform, abandoned)
            }
        }
    }
}

/** Deletes the rows of a journal that has no open requests. */
private suspend fun closeJournal(platform: Store, abandoned: AbandonedRequests) {
    val writes = listOf(RowWrite(journalKey(abandoned.host), null), RowWrite(markerKey(abandoned.host), null))
    platform.commands.commit(TableTransaction(listOf(abandoned.fence), writes))
}
