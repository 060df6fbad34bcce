package figdeck.model

/**
 * One accepted change of the configuration.
 *
 * @property revision the revision that the change makes of the one before it.
 * @property summary what was changed, for people.
 */
public data class ConfigurationChange(
    public val id: ChangeId,
    public val revision: Revision,
    public val operator: OperatorName,
    public val atMillis: Long,
    public val summary: String,
    public val patch: TemplatePatch,
)
