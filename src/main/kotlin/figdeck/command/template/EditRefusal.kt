package figdeck.command.template

import figdeck.model.Fault
import figdeck.model.Revision

/** Why an edit is refused; no part of it is applied. */
public sealed interface EditRefusal {
    /** The edit is invalid; [faults] lists every fault. */
    public data class Faulty(public val faults: List<Fault>) : EditRefusal

    /** The edit was made for another revision than the [present] one. */
    public data class Conflict(public val present: Revision) : EditRefusal
}
