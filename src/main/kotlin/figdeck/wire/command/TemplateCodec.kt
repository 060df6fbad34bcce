package figdeck.wire.command

import arrow.core.Either
import arrow.core.left
import arrow.core.raise.either
import arrow.core.raise.ensure
import arrow.core.right
import figdeck.model.Fault
import figdeck.model.Template
import figdeck.wire.decodeTree
import figdeck.wire.lenientJson
import figdeck.wire.strictJson
import figdeck.wire.validateJson
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive

@Serializable
internal data class TemplateDto(
    val name: String,
    val upstreams: List<UpstreamDto> = emptyList(),
    val models: List<ModelPoolDto> = emptyList(),
    val routes: List<RouteDto> = emptyList(),
    val teams: List<TeamDto> = emptyList(),
    val retentionHours: Int? = null,
)

@Serializable
internal data class UpstreamDto(
    val id: String,
    val address: String,
    val dataCentre: String,
    val kind: String = "engine",
    val slots: Int? = null,
    val honoursFencing: Boolean = false,
)

@Serializable
internal data class ModelPoolDto(
    val name: String,
    val upstreams: List<String>,
    val maxTokens: Int? = null,
)

@Serializable
internal data class RouteDto(
    val name: String,
    val upstreams: List<String>,
    val idempotent: Boolean = false,
    val open: Boolean = false,
)

@Serializable
internal data class TeamDto(
    val team: String,
    val keys: List<TeamKeyDto> = emptyList(),
    val ratePerSecond: Double,
    val burst: Int,
    val weight: Int = 1,
    val models: List<String> = emptyList(),
    val routes: List<String> = emptyList(),
)

@Serializable
internal data class TeamKeyDto(
    val id: String,
    val sha256: String,
)

/** Decodes a template from an operator. Returns all faults in it with their paths if it is invalid. */
internal fun decodeTemplate(text: String): Either<List<Fault>, Template> = either {
    val element = parseObject(text).mapLeft { listOf(Fault("", it)) }.bind()
    val validatedJson = validateJson(element, TemplateDto.serializer().descriptor)
    val dto = lenientJson.decodeFromJsonElement(TemplateDto.serializer(), validatedJson.element)
    val built = dto.toTemplate()
    // The placeholders at these paths can cause further faults, which must not be reported.
    val invalidPaths = validatedJson.faults.map { it.path }.toSet()
    val faults = validatedJson.faults + built.fold({ it }, { emptyList() }).filterNot { it.path in invalidPaths }
    ensure(faults.isEmpty()) { faults }
    built.bind()
}

/** Returns the name in a template that may be invalid, or null if the name cannot be read. */
internal fun templateName(text: String): String? =
    parseObject(text).getOrNull()?.get("name")?.let { it as? JsonPrimitive }?.content

private fun parseObject(text: String): Either<String, JsonObject> = lenientJson.decodeTree(text).fold(
    { reason -> "the template is not valid JSON ($reason): see the example in docs/OPERATIONS.md".left() },
    { tree ->
        (tree as? JsonObject)?.right()
            ?: "the template is no JSON object: see the example in docs/OPERATIONS.md".left()
    },
)

internal fun encodeTemplate(template: Template): String =
    strictJson.encodeToString(TemplateDto.serializer(), template.toDto())

internal fun Template.toDto(): TemplateDto = TemplateDto(
    name = name.value,
    upstreams = upstreams.map { it.toDto() },
    models = models.map { it.toDto() },
    routes = routes.map { it.toDto() },
    teams = teams.map { it.toDto() },
    retentionHours = retention.inWholeHours.toInt(),
)
