package figdeck.daemon.command

import figdeck.daemon.query.HEAD_KEY
import figdeck.daemon.query.readHead
import figdeck.daemon.query.snapshotKey
import figdeck.log.PartLog
import figdeck.model.CallResult
import figdeck.model.RowCheck
import figdeck.model.RowWrite
import figdeck.model.TableTransaction
import figdeck.wire.command.encodeConfiguration
import figdeck.wire.command.encodeHead

/** A starting daemon reads this many changes at most after the newest whole copy. */
internal const val SNAPSHOT_INTERVAL = 64
private val log = PartLog("configuration")

/**
 * Writes a whole copy of the configuration when the newest is [SNAPSHOT_INTERVAL] revisions old, and then names it in
 * the head. A failure is left to the next change: the copy only shortens a start.
 */
internal suspend fun ConfigurationStore.writeSnapshotIfDue() {
    val stored = (platform.queries.readHead() as? CallResult.Done)?.value ?: return
    val current = control.snapshot.configuration
    if (current.revision.value - stored.head.snapshot.value < SNAPSHOT_INTERVAL) {
        return
    }
    val bytes = encodeConfiguration(current).encodeToByteArray()
    val written = platform.commands.putObject(snapshotKey(current.revision), bytes)
    if (written is CallResult.Done && current.revision <= stored.head.revision) {
        val head = RowWrite(HEAD_KEY, encodeHead(stored.head.copy(snapshot = current.revision)))
        platform.commands.commit(TableTransaction(listOf(RowCheck(HEAD_KEY, stored.version)), listOf(head)))
        log.info { "wrote a copy of revision ${current.revision}" }
    }
}
