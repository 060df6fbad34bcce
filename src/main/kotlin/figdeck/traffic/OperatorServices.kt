package figdeck.traffic

import figdeck.daemon.query.Records
import figdeck.telemetry.Meters
import figdeck.traffic.command.ChangeServices

/**
 * What stands behind the operators' listener.
 *
 * @property drain begins a planned stop and returns at once.
 */
internal data class OperatorServices(
    val changes: ChangeServices,
    val records: Records,
    val meters: Meters,
    val drain: () -> Unit,
)
