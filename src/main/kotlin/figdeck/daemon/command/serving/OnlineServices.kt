package figdeck.daemon.command.serving

import figdeck.log.DecisionLog
import figdeck.model.Clock
import kotlin.random.Random

/** The dependencies for serving online requests. */
internal data class OnlineServices(
    val clock: Clock,
    val limits: TeamLimits,
    val slots: SlotClient,
    val random: Random,
    val log: DecisionLog,
)
