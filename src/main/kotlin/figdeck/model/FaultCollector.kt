package figdeck.model

import arrow.core.Either
import arrow.core.left
import arrow.core.right

/** Collects every fault below [path], so that all are told at once. */
internal class FaultCollector(
    private val path: String,
    private val faults: MutableList<Fault> = mutableListOf(),
) {
    /** Collects faults of the part [name] into the same list. */
    fun part(name: String): FaultCollector = FaultCollector(if (path.isEmpty()) name else "$path.$name", faults)

    /** Notes [message] at this path. */
    fun add(message: String) {
        faults += Fault(path, message)
    }

    /** Notes [message] at the part [name] unless [holds]. */
    fun expect(holds: Boolean, name: String, message: String) {
        if (!holds) {
            part(name).add(message)
        }
    }

    /** What [create] makes, or null and a fault at the part [name] when it refuses its argument. */
    fun <T : Any> attempt(name: String, create: () -> T): T? = try {
        create()
    } catch (e: IllegalArgumentException) {
        part(name).add(e.message ?: "is not valid")
        null
    }

    /** Either all the faults or, when there are none, the [value]. */
    fun <T : Any> result(value: () -> T?): Either<List<Fault>, T> {
        val built = if (faults.isEmpty()) value() else null
        return built?.right() ?: faults.toList().left()
    }
}
