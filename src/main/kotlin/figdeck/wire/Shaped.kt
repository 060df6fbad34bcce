package figdeck.wire

import figdeck.model.Fault
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.descriptors.PrimitiveKind
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.descriptors.StructureKind
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.doubleOrNull
import kotlinx.serialization.json.intOrNull
import kotlinx.serialization.json.longOrNull

private const val PLACEHOLDER = "unset"

/**
 * JSON that fits a descriptor, and what had to be mended in it.
 *
 * @property element the JSON with unknown fields left out and placeholders where a value is missing or of a wrong type,
 * so that the rest can be checked as well.
 */
internal data class Shaped(
    val element: JsonElement,
    val faults: List<Fault>,
)

/** Fits [element] to [descriptor] and notes each unknown or missing field and each value of a wrong type by path. */
@OptIn(ExperimentalSerializationApi::class)
internal fun shape(element: JsonElement, descriptor: SerialDescriptor, path: String = ""): Shaped = when {
    descriptor.isNullable && element is JsonNull -> Shaped(element, emptyList())
    descriptor.kind == StructureKind.CLASS -> shapeObject(element, descriptor, path)
    descriptor.kind == StructureKind.LIST -> shapeList(element, descriptor, path)
    else -> shapeValue(element, descriptor, path)
}

@OptIn(ExperimentalSerializationApi::class)
private fun shapeObject(element: JsonElement, descriptor: SerialDescriptor, path: String): Shaped {
    val given = element as? JsonObject ?: JsonObject(emptyMap())
    val wrongType = listOf(Fault(path, "must be an object: write { … }")).takeIf { element !is JsonObject }
    val known = (0 until descriptor.elementsCount).associateBy { descriptor.getElementName(it) }
    val unknown = given.keys.filterNot { it in known }.map {
        Fault(below(path, it), "is not a field here: use ${known.keys.joinToString()}")
    }
    val fields = known.mapNotNull { (name, i) -> shapeField(given[name], descriptor, i, below(path, name)) }
    val shaped = JsonObject(fields.associate { it.name to it.shaped.element })
    return Shaped(shaped, wrongType ?: (unknown + fields.flatMap { it.shaped.faults }))
}

private data class ShapedField(
    val name: String,
    val shaped: Shaped,
)

@OptIn(ExperimentalSerializationApi::class)
private fun shapeField(element: JsonElement?, descriptor: SerialDescriptor, i: Int, path: String): ShapedField? {
    val name = descriptor.getElementName(i)
    val wanted = descriptor.getElementDescriptor(i)
    return when {
        element != null -> ShapedField(name, shape(element, wanted, path))
        descriptor.isElementOptional(i) -> null
        else -> ShapedField(name, Shaped(placeholder(wanted), listOf(Fault(path, "is missing: set it"))))
    }
}

@OptIn(ExperimentalSerializationApi::class)
private fun shapeList(element: JsonElement, descriptor: SerialDescriptor, path: String): Shaped {
    if (element !is JsonArray) {
        return Shaped(JsonArray(emptyList()), listOf(Fault(path, "must be a list: write [ … ]")))
    }
    val entries = element.mapIndexed { i, entry -> shape(entry, descriptor.getElementDescriptor(0), "$path[$i]") }
    return Shaped(JsonArray(entries.map { it.element }), entries.flatMap { it.faults })
}

@OptIn(ExperimentalSerializationApi::class)
private fun shapeValue(element: JsonElement, descriptor: SerialDescriptor, path: String): Shaped {
    val value = element as? JsonPrimitive
    val fits = value != null && value !is JsonNull && when (descriptor.kind) {
        PrimitiveKind.STRING -> value.isString
        PrimitiveKind.BOOLEAN -> !value.isString && value.booleanOrNull != null
        PrimitiveKind.INT -> !value.isString && value.intOrNull != null
        PrimitiveKind.LONG -> !value.isString && value.longOrNull != null
        else -> !value.isString && value.doubleOrNull?.isFinite() == true
    }
    return if (fits) {
        Shaped(element, emptyList())
    } else {
        Shaped(placeholder(descriptor), listOf(Fault(path, "must be ${nameOf(descriptor)}")))
    }
}

@OptIn(ExperimentalSerializationApi::class)
private fun nameOf(descriptor: SerialDescriptor): String = when (descriptor.kind) {
    PrimitiveKind.STRING -> "text in quotes"
    PrimitiveKind.BOOLEAN -> "true or false"
    PrimitiveKind.INT, PrimitiveKind.LONG -> "a whole number"
    else -> "a number"
}

@OptIn(ExperimentalSerializationApi::class)
private fun placeholder(descriptor: SerialDescriptor): JsonElement = when (descriptor.kind) {
    StructureKind.LIST -> JsonArray(emptyList())
    PrimitiveKind.STRING -> JsonPrimitive(PLACEHOLDER)
    PrimitiveKind.BOOLEAN -> JsonPrimitive(false)
    else -> JsonPrimitive(1)
}

private fun below(path: String, name: String): String = if (path.isEmpty()) name else "$path.$name"
