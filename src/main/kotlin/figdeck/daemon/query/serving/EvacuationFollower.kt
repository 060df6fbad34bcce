package figdeck.daemon.query.serving

import arrow.core.Either
import figdeck.command.serving.adoptEvacuations
import figdeck.command.serving.changeEvacuation
import figdeck.command.serving.replaceEvacuations
import figdeck.control.Control
import figdeck.control.serving.ServingState
import figdeck.control.serving.updateEvacuations
import figdeck.log.DecisionLog
import figdeck.log.PartLog
import figdeck.log.orWarn
import figdeck.model.DataCentre
import figdeck.model.Row
import figdeck.model.serving.Evacuations

private val log = PartLog("follow")

/**
 * Follows the evacuated data centres.
 *
 * @param decode decodes the key of a row; null if the row is of another kind.
 * @param onBegun receives all evacuated data centres when an evacuation has begun.
 */
internal class EvacuationFollower(
    private val control: Control<ServingState>,
    private val decode: (key: String) -> Either<String, DataCentre>?,
    private val decisions: DecisionLog,
    private val onBegun: suspend (Set<DataCentre>) -> Unit,
) {
    /** The follower of the table in the store. */
    val follower: TableFollower = TableFollower(
        replace = { rows -> update { replaceEvacuations(read(rows)) } },
        change = { changes ->
            val read = changes.mapNotNull { change -> centreOf(change.key)?.let { it to change.row?.version } }
            if (read.isNotEmpty()) {
                update { before -> read.fold(before) { all, (key, version) -> changeEvacuation(all, key, version) } }
            }
        },
    )

    /** Applies the [rows] of the table as a peer last read them, unless this host has read the table itself. */
    suspend fun adoptFromPeer(rows: List<Row>) = update { adoptEvacuations(it, read(rows)) }

    private suspend fun update(change: (Evacuations) -> Evacuations) {
        val changes = control.run { state, _ -> updateEvacuations(state, change) }
        changes.forEach {
            decisions.note(if (it.hasBegun) "evacuation_begun" else "evacuation_ended", it.centre.value) {
                put("version", it.version)
                put("source", if (control.snapshot.evacuations.isFromStore) "store" else "peer")
            }
        }
        if (changes.any { it.hasBegun }) {
            onBegun(control.snapshot.evacuations.centres.keys)
        }
    }

    private fun read(rows: List<Row>): Map<DataCentre, Long> =
        rows.mapNotNull { row -> centreOf(row.key)?.let { it to row.version } }.toMap()

    private fun centreOf(key: String): DataCentre? = decode(key)?.orWarn(log)
}

/** Returns a follower that passes everything to this one, and then to [next]. */
internal fun TableFollower.followedBy(next: TableFollower): TableFollower = TableFollower(
    replace = { rows ->
        replace(rows)
        next.replace(rows)
    },
    change = { changes ->
        change(changes)
        next.change(changes)
    },
    fail = {
        fail()
        next.fail()
    },
)
