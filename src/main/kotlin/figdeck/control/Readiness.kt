package figdeck.control

import figdeck.command.ownership.isLeased
import figdeck.command.ownership.missingShards
import figdeck.model.Moment

/** Whether this host can accept work at [now]: it holds its lease, its journal and all shards that prefer it. */
internal fun ControlState.isReady(now: Moment): Boolean {
    val ownership = fleet.ownership
    return !draining && ownership.isLeased(now) && journal.writer != null && ownership.missingShards().isEmpty()
}
