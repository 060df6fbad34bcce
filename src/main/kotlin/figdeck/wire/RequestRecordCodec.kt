package figdeck.wire

import figdeck.model.Attempt
import figdeck.model.Epoch
import figdeck.model.HostId
import figdeck.model.IdempotencyKey
import figdeck.model.KeyHash
import figdeck.model.MayHaveRun
import figdeck.model.Message
import figdeck.model.ModelName
import figdeck.model.Outcome
import figdeck.model.Refusal
import figdeck.model.RequestId
import figdeck.model.RequestRecord
import figdeck.model.Revision
import figdeck.model.RouteName
import figdeck.model.TeamId
import figdeck.model.UpstreamId
import figdeck.model.Work
import kotlinx.serialization.Serializable

@Serializable
internal data class RequestRecordDto(
    val id: String,
    val team: String?,
    val work: WorkDto,
    val host: String,
    val epoch: Long,
    val revision: Long,
    val acceptedAtMillis: Long,
    val resend: ResendKeyDto? = null,
    val attempts: List<AttemptDto>,
    val endedAtMillis: Long? = null,
    val outcome: OutcomeDto? = null,
)

/** The JSON form of an [IdempotencyKey]; [body] is the digest of the request. */
@Serializable
internal data class ResendKeyDto(
    val key: String,
    val body: String,
)

/** The JSON form of a [Work]; exactly one field is set. */
@Serializable
internal data class WorkDto(
    val chat: RecordedChatDto? = null,
    val call: RecordedCallDto? = null,
)

@Serializable
internal data class RecordedChatDto(
    val model: String,
    val messages: List<RecordedMessageDto>,
    val maxTokens: Int,
    val stream: Boolean,
)

@Serializable
internal data class RecordedMessageDto(
    val role: String,
    val content: String,
)

@Serializable
internal data class RecordedCallDto(
    val route: String,
    val method: String,
    val path: String,
    val contentType: String,
    val body: String,
    val idempotent: Boolean,
)

@Serializable
internal data class AttemptDto(
    val upstream: String,
    val host: String,
    val startedAtMillis: Long,
    val result: String,
)

/** The JSON form of an [Outcome]; exactly one field is set. */
@Serializable
internal data class OutcomeDto(
    val chat: ChatAnswerDto? = null,
    val call: CallAnswerDto? = null,
    val failure: FailureDto? = null,
)

@Serializable
internal data class ChatAnswerDto(
    val content: String,
    val finishReason: String,
)

@Serializable
internal data class CallAnswerDto(
    val status: Int,
    val contentType: String,
    val body: String,
)

@Serializable
internal data class FailureDto(
    val type: String,
    val message: String,
    val ran: String,
)

internal fun encodeRecord(record: RequestRecord): String =
    lenientJson.encodeToString(RequestRecordDto.serializer(), record.toDto())

internal fun decodeRecord(text: String): RequestRecord =
    lenientJson.decodeFromString(RequestRecordDto.serializer(), text).toRecord()

internal fun RequestRecord.toDto() = RequestRecordDto(
    id = id.value,
    team = team?.value,
    work = work.toDto(),
    host = host.value,
    epoch = epoch.value,
    revision = revision.value,
    acceptedAtMillis = acceptedAtMillis,
    resend = idempotencyKey?.let { ResendKeyDto(it.key, it.requestDigest.hex) },
    attempts = attempts.map { AttemptDto(it.upstream.value, it.host.value, it.startedAtMillis, it.result) },
    endedAtMillis = endedAtMillis,
    outcome = outcome?.toDto(),
)

private fun Work.toDto(): WorkDto = when (this) {
    is Work.Chat -> WorkDto(
        chat = RecordedChatDto(
            model.value,
            messages.map { RecordedMessageDto(it.role, it.content) },
            maxTokens,
            stream,
        ),
    )
    is Work.ServiceCall -> WorkDto(
        call = RecordedCallDto(route.value, method, path, contentType, body, idempotent),
    )
}

private fun Outcome.toDto(): OutcomeDto = when (this) {
    is Outcome.ChatAnswered -> OutcomeDto(chat = ChatAnswerDto(content, finishReason))
    is Outcome.CallAnswered -> OutcomeDto(call = CallAnswerDto(status, contentType, body))
    is Outcome.Failed -> OutcomeDto(failure = FailureDto(refusal.type, refusal.message, refusal.ran.wireName))
}

private fun RequestRecordDto.toRecord() = RequestRecord(
    id = RequestId(id),
    team = team?.let { TeamId(it) },
    work = work.toWork(),
    host = HostId(host),
    epoch = Epoch(epoch),
    revision = Revision(revision),
    acceptedAtMillis = acceptedAtMillis,
    idempotencyKey = resend?.let { IdempotencyKey(it.key, KeyHash(it.body)) },
    attempts = attempts.map { Attempt(UpstreamId(it.upstream), HostId(it.host), it.startedAtMillis, it.result) },
    endedAtMillis = endedAtMillis,
    outcome = outcome?.toOutcome(),
)

private fun WorkDto.toWork(): Work {
    if (chat != null) {
        val messages = chat.messages.map { Message(it.role, it.content) }
        return Work.Chat(ModelName(chat.model), messages, chat.maxTokens, chat.stream)
    }
    requireNotNull(call) { "the record holds no work: it was not written by figdeck" }
    return Work.ServiceCall(
        RouteName(call.route),
        call.method,
        call.path,
        call.contentType,
        call.body,
        call.idempotent,
    )
}

private fun OutcomeDto.toOutcome(): Outcome = when {
    chat != null -> Outcome.ChatAnswered(chat.content, chat.finishReason)
    call != null -> Outcome.CallAnswered(call.status, call.contentType, call.body)
    else -> Outcome.Failed(
        requireNotNull(failure) { "the outcome is empty: it was not written by figdeck" }.toRefusal()
    )
}

private fun FailureDto.toRefusal() = Refusal.Recorded(type, message, MayHaveRun.valueOf(ran.uppercase()))
