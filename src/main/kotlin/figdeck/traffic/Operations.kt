package figdeck.traffic

import figdeck.daemon.query.RequestRecords
import figdeck.telemetry.Meters
import figdeck.traffic.command.Changing

/**
 * What stands behind the operators' listener.
 *
 * @property drain begins a planned stop and returns at once.
 */
internal data class Operations(
    val changing: Changing,
    val records: RequestRecords,
    val meters: Meters,
    val drain: () -> Unit,
)
