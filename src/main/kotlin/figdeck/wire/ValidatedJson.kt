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
 * JSON that matches a serial descriptor, and the faults found in the input.
 *
 * @property element the input without unknown fields and with placeholders for missing values and values of the wrong
 * type, so that it can be decoded and the remaining values can be validated too.
 */
internal data class ValidatedJson(
    val element: JsonElement,
    val faults: List<Fault>,
)

/**
 * Validates [element] against [descriptor]. Reports each unknown field, missing field and value of the wrong type with
 * its path.
 */
@OptIn(ExperimentalSerializationApi::class)
internal fun validateJson(element: JsonElement, descriptor: SerialDescriptor, path: String = ""): ValidatedJson = when {
    descriptor.isNullable && element is JsonNull -> ValidatedJson(element, emptyList())
    descriptor.kind == StructureKind.CLASS -> validateObject(element, descriptor, path)
    descriptor.kind == StructureKind.LIST -> validateList(element, descriptor, path)
    else -> validatePrimitive(element, descriptor, path)
}

@OptIn(ExperimentalSerializationApi::class)
private fun validateObject(element: JsonElement, descriptor: SerialDescriptor, path: String): ValidatedJson {
    val jsonObject = element as? JsonObject ?: JsonObject(emptyMap())
    val wrongType = listOf(Fault(path, "must be an object: write { … }")).takeIf { element !is JsonObject }
    val fieldIndexes = (0 until descriptor.elementsCount).associateBy { descriptor.getElementName(it) }
    val unknown = jsonObject.keys.filterNot { it in fieldIndexes }.map {
        Fault(childPath(path, it), "is not a field here: use ${fieldIndexes.keys.joinToString()}")
    }
    val fields = fieldIndexes.mapNotNull { (name, i) ->
        validateField(jsonObject[name], descriptor, i, childPath(path, name))
    }
    val validated = JsonObject(fields.associate { it.name to it.validated.element })
    return ValidatedJson(validated, wrongType ?: (unknown + fields.flatMap { it.validated.faults }))
}

private data class ValidatedField(
    val name: String,
    val validated: ValidatedJson,
)

@OptIn(ExperimentalSerializationApi::class)
private fun validateField(element: JsonElement?, descriptor: SerialDescriptor, i: Int, path: String): ValidatedField? {
    val name = descriptor.getElementName(i)
    val fieldDescriptor = descriptor.getElementDescriptor(i)
    return when {
        element != null -> ValidatedField(name, validateJson(element, fieldDescriptor, path))
        descriptor.isElementOptional(i) -> null
        else -> ValidatedField(
            name,
            ValidatedJson(placeholderFor(fieldDescriptor), listOf(Fault(path, "is missing: set it"))),
        )
    }
}

@OptIn(ExperimentalSerializationApi::class)
private fun validateList(element: JsonElement, descriptor: SerialDescriptor, path: String): ValidatedJson {
    if (element !is JsonArray) {
        return ValidatedJson(JsonArray(emptyList()), listOf(Fault(path, "must be a list: write [ … ]")))
    }
    val entries = element.mapIndexed { i, entry ->
        validateJson(entry, descriptor.getElementDescriptor(0), "$path[$i]")
    }
    return ValidatedJson(JsonArray(entries.map { it.element }), entries.flatMap { it.faults })
}

@OptIn(ExperimentalSerializationApi::class)
private fun validatePrimitive(element: JsonElement, descriptor: SerialDescriptor, path: String): ValidatedJson {
    val value = element as? JsonPrimitive
    val fits = value != null && value !is JsonNull && when (descriptor.kind) {
        PrimitiveKind.STRING -> value.isString
        PrimitiveKind.BOOLEAN -> !value.isString && value.booleanOrNull != null
        PrimitiveKind.INT -> !value.isString && value.intOrNull != null
        PrimitiveKind.LONG -> !value.isString && value.longOrNull != null
        else -> !value.isString && value.doubleOrNull?.isFinite() == true
    }
    return if (fits) {
        ValidatedJson(element, emptyList())
    } else {
        ValidatedJson(placeholderFor(descriptor), listOf(Fault(path, "must be ${expectedType(descriptor)}")))
    }
}

@OptIn(ExperimentalSerializationApi::class)
private fun expectedType(descriptor: SerialDescriptor): String = when (descriptor.kind) {
    PrimitiveKind.STRING -> "text in quotes"
    PrimitiveKind.BOOLEAN -> "true or false"
    PrimitiveKind.INT, PrimitiveKind.LONG -> "a whole number"
    else -> "a number"
}

@OptIn(ExperimentalSerializationApi::class)
private fun placeholderFor(descriptor: SerialDescriptor): JsonElement = when (descriptor.kind) {
    StructureKind.LIST -> JsonArray(emptyList())
    PrimitiveKind.STRING -> JsonPrimitive(PLACEHOLDER)
    PrimitiveKind.BOOLEAN -> JsonPrimitive(false)
    else -> JsonPrimitive(1)
}

private fun childPath(path: String, name: String): String = if (path.isEmpty()) name else "$path.$name"
