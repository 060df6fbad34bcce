package figdeck.daemon.query

import arrow.core.Either
import arrow.core.right
import figdeck.control.Control
import figdeck.control.ControlState
import figdeck.control.confirmConfiguration
import figdeck.log.PartLog
import figdeck.model.CallResult
import figdeck.model.Configuration
import figdeck.model.Fault
import figdeck.model.Moment
import figdeck.model.Row
import figdeck.platform.Platform
import figdeck.wire.command.decodeConfiguration
import kotlinx.coroutines.delay
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** The row that holds the configuration in force. */
internal const val CONFIGURATION_KEY = "configuration"
private val POLL_INTERVAL = 500.milliseconds
private val log = PartLog("configuration")

/** Keeps the control state at the configuration of the platform's table, until cancelled. */
internal suspend fun followConfiguration(
    platform: Platform,
    control: Control<ControlState>,
    clock: () -> Moment,
    interval: Duration = POLL_INTERVAL,
) {
    while (true) {
        val asked = clock()
        val reply = platform.queries.readRow(CONFIGURATION_KEY)
        if (reply is CallResult.Done) {
            readConfiguration(reply.value.value)
                .onRight { read -> control.run { state, _ -> confirmConfiguration(state, read, asked) } }
                .onLeft { faults -> log.warn { "cannot read the stored configuration: ${faults.first()}" } }
        }
        delay(interval)
    }
}

private fun readConfiguration(row: Row?): Either<List<Fault>, Configuration?> =
    if (row == null) null.right() else decodeConfiguration(row.value)
