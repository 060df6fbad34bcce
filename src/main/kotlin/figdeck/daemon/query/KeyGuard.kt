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
 * Checks that [key] still belongs to [team] while its holder receives the output of accepted work. After the key is
 * withdrawn, its holder receives no more output; the work still runs to its end, and [team] can read its result.
 */
internal class KeyGuard(
    private val services: Services,
    private val key: String?,
    private val team: TeamId,
) {
    private var lastCheckedIndex: ConfigurationIndex? = null
    private var withdrawal: Refusal? = null

    /** Returns at once if the key is valid, and waits while this host has no confirmed current configuration. */
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
