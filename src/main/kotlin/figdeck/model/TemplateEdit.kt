package figdeck.model

/** A configuration edit requested by an operator. */
public sealed interface TemplateEdit {
    /** Puts [template] in force and replaces the template of the same name, if any. */
    public data class Apply(public val template: Template) : TemplateEdit

    /** Takes the template [name] out of force. */
    public data class Remove(public val name: TemplateName) : TemplateEdit

    /** Allows [team] to authenticate with [key]. */
    public data class GrantKey(public val team: TeamId, public val key: TeamKey) : TemplateEdit

    /** Withdraws [key]. [team] selects the owner if several teams have a key with this id. */
    public data class WithdrawKey(public val key: KeyId, public val team: TeamId?) : TemplateEdit
}
