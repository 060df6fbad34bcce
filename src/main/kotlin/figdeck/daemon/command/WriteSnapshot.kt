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
import figdeck.wire.command.encodeConfigurationHead

/** The number of revisions between snapshots. Bounds the changes that a starting daemon reads after the snapshot. */
internal const val SNAPSHOT_INTERVAL = 64
private val log = PartLog("configuration")

/**
 * Writes a snapshot of the configuration if the newest one is at least [SNAPSHOT_INTERVAL] revisions old, and then sets
 * it in the head. A failure is not retried before the next change, because a snapshot only makes daemons start faster.
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
        val head = RowWrite(HEAD_KEY, encodeConfigurationHead(stored.head.copy(snapshot = current.revision)))
        platform.commands.commit(TableTransaction(listOf(RowCheck(HEAD_KEY, stored.version)), listOf(head)))
        log.info { "wrote a snapshot of revision ${current.revision}" }
    }
}
