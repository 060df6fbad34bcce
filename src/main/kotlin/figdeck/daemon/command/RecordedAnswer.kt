package figdeck.daemon.command

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import figdeck.model.Outcome
import figdeck.model.Refusal
import figdeck.model.RequestId
import figdeck.upstream.command.ServiceResponse

/** Returns the answer to a chat turn that ended with [outcome]. */
internal fun chatAnswerOf(id: RequestId, outcome: Outcome): Either<Refusal, ChatAnswer> = when (outcome) {
    is Outcome.ChatAnswered -> ChatAnswer(id, outcome.content, outcome.finishReason).right()
    is Outcome.CallAnswered -> Refusal.NotFound("chat turn '$id'").left()
    is Outcome.Failed -> outcome.refusal.left()
}

/** Returns the answer to a call that ended with [outcome]. */
internal fun callAnswerOf(id: RequestId, outcome: Outcome): Either<Refusal, CallAnswer> = when (outcome) {
    is Outcome.CallAnswered ->
        CallAnswer(id, ServiceResponse(outcome.status, outcome.contentType, outcome.body)).right()
    is Outcome.ChatAnswered -> Refusal.NotFound("call '$id'").left()
    is Outcome.Failed -> outcome.refusal.left()
}
