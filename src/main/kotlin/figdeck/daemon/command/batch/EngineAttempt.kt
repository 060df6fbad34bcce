package figdeck.daemon.command.batch

import figdeck.command.batch.AttemptResult
import figdeck.command.dispatch.SlotOutcome
import figdeck.daemon.command.Permit
import figdeck.upstream.command.EngineResult
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.selects.select

/** Runs [work] to its end, or cancels it and returns null when the slot is revoked. */
internal suspend fun runUntilRevoked(permit: Permit, work: suspend () -> EngineResult): EngineResult? = coroutineScope {
    val run = async { work() }
    select {
        run.onAwait { it }
        permit.revoked.onAwait {
            run.cancel()
            run.join()
            null
        }
    }
}

internal fun EngineResult?.slotOutcome(): SlotOutcome = when (this) {
    null -> SlotOutcome.ABANDONED
    is EngineResult.Finished -> SlotOutcome.ANSWERED
    is EngineResult.Refused, is EngineResult.NotSent, is EngineResult.Lost -> SlotOutcome.FAILED
}

internal fun EngineResult?.toAttemptResult(): AttemptResult = when (this) {
    null, is EngineResult.NotSent -> AttemptResult.NotRun
    is EngineResult.Finished -> AttemptResult.Finished(finishReason)
    is EngineResult.Refused -> AttemptResult.Refused(status)
    is EngineResult.Lost -> AttemptResult.Lost
}
