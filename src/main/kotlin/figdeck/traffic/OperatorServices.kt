package figdeck.traffic

import figdeck.daemon.query.RequestRecords
import figdeck.telemetry.Meters
import figdeck.traffic.command.ChangeServices

/**
 * The dependencies of the operator API.
 *
 * @property drain starts a planned stop and returns without waiting for it.
 */
internal data class OperatorServices(
    val changes: ChangeServices,
    val records: RequestRecords,
    val meters: Meters,
    val drain: () -> Unit,
)
