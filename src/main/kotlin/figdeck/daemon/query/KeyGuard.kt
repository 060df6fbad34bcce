package figdeck.daemon.query

import arrow.core.Either
import arrow.core.left
import arrow.core.raise.either
import arrow.core.raise.ensure
import figdeck.daemon.command.Services
import figdeck.model.Refusal
import figdeck.model.RequestId
import figdeck.model.TeamId
import figdeck.query.ConfigurationIndex
import figdeck.query.teamOf
import kotlinx.coroutines.delay
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val CONFIRMATION_TIMEOUT = 30.seconds
private val CONFIRMATION_POLL_INTERVAL = 50.milliseconds

/**
 * Guards what the holder of [key] is shown of work that was accepted earlier. The work itself goes on to its end, and
 * its result stays readable by [team]; the holder of a withdrawn key sees no more of it.
 */
internal class KeyGuard(
    private val services: Services,
    private val key: String?,
    private val team: TeamId,
) {
    private var lastCheckedIndex: ConfigurationIndex? = null
    private var withdrawal: Refusal? = null

    /** Returns at once while the key is in force, and waits while this host can't know whether it is. */
    suspend fun check(request: RequestId): Either<Refusal, Unit> {
        val knownWithdrawal = withdrawal
        val result = knownWithdrawal?.left() ?: checkKey(request)
        result.onLeft { withdrawal = it }
        return result
    }

    private suspend fun checkKey(request: RequestId): Either<Refusal, Unit> = either {
        awaitCurrentConfiguration(request).bind()
        val index = services.control.snapshot.index
        if (index !== lastCheckedIndex) {
            val holder = index.teamOf(key).getOrNull()?.id
            ensure(holder == team) { Refusal.KeyWithdrawn(request) }
            lastCheckedIndex = index
        }
    }

    private suspend fun awaitCurrentConfiguration(request: RequestId): Either<Refusal, Unit> = either {
        val start = services.clock()
        while (!services.control.snapshot.isCurrent(services.clock())) {
            ensure(services.clock() - start < CONFIRMATION_TIMEOUT) { Refusal.StillRunning(request) }
            delay(CONFIRMATION_POLL_INTERVAL)
        }
    }
}
