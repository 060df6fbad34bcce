package figdeck.daemon.command.serving

import figdeck.log.DecisionLog
import figdeck.model.Clock
import figdeck.query.serving.FailedSend
import kotlin.random.Random

/**
 * The dependencies for serving online requests.
 *
 * @property calls the calls in progress.
 * @property countFailedSend counts a send without a complete answer in the metrics.
 * @property countHomeRefusal counts a refusal for want of an upstream in a home region in the metrics.
 * @property answerMemory the memory for the answers that are buffered until they are complete.
 */
internal data class OnlineServices(
    val clock: Clock,
    val limits: TeamLimits,
    val slots: SlotClient,
    val crashGuard: CrashGuard,
    val random: Random,
    val log: DecisionLog,
    val calls: CallsInProgress,
    val countFailedSend: (FailedSend) -> Unit,
    val answerMemory: AnswerMemory = AnswerMemory(),
    val countHomeRefusal: () -> Unit = {},
)
