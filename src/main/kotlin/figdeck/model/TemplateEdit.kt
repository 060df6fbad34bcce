package figdeck.model

/** What an operator asks to change. */
public sealed interface TemplateEdit {
    /** Puts [template] in force in place of the one of its name. */
    public data class Apply(public val template: Template) : TemplateEdit

    /** Takes the template [name] out of force. */
    public data class Remove(public val name: TemplateName) : TemplateEdit

    /** Lets [team] show [key]. */
    public data class GrantKey(public val team: TeamId, public val key: TeamKey) : TemplateEdit

    /** Stops [key]; [team] tells whose it is where several teams have a key of that id. */
    public data class WithdrawKey(public val key: KeyId, public val team: TeamId?) : TemplateEdit
}
