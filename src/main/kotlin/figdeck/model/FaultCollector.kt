package figdeck.model

import arrow.core.Either
import arrow.core.left
import arrow.core.right

/** Collects the validation errors below [path], so that all of them are reported at once. */
internal class FaultCollector(
    private val path: String,
    private val faults: MutableList<Fault> = mutableListOf(),
) {
    /** Returns a collector for the nested field [name] that adds to the same list. */
    fun part(name: String): FaultCollector = FaultCollector(if (path.isEmpty()) name else "$path.$name", faults)

    /** Adds [message] at this path. */
    fun add(message: String) {
        faults += Fault(path, message)
    }

    /** Adds [message] at the nested field [name] unless [holds] is true. */
    fun expect(holds: Boolean, name: String, message: String) {
        if (!holds) {
            part(name).add(message)
        }
    }

    /** Returns the result of [create]; on [IllegalArgumentException], adds a fault at [name] and returns null. */
    fun <T : Any> attempt(name: String, create: () -> T): T? = try {
        create()
    } catch (e: IllegalArgumentException) {
        part(name).add(e.message ?: "is not valid")
        null
    }

    /** Returns the collected faults, or [value] if there are none. */
    fun <T : Any> result(value: () -> T?): Either<List<Fault>, T> {
        val built = if (faults.isEmpty()) value() else null
        return built?.right() ?: faults.toList().left()
    }
}
