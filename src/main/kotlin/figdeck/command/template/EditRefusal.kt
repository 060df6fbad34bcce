package figdeck.command.template

import figdeck.model.Fault
import figdeck.model.Revision

/** Why an edit is refused whole. */
public sealed interface EditRefusal {
    /** Every fault of the edit. */
    public data class Faulty(public val faults: List<Fault>) : EditRefusal

    /** The edit was made for another revision than the [present] one. */
    public data class Conflict(public val present: Revision) : EditRefusal
}
