package figdeck.model

/**
 * An accepted configuration change.
 *
 * @property revision the revision that the change creates; one higher than the revision it is based on.
 * @property summary a human-readable description of the change.
 */
public data class ConfigurationChange(
    public val id: ChangeId,
    public val revision: Revision,
    public val operator: OperatorName,
    public val atMillis: Long,
    public val summary: String,
    public val patch: TemplatePatch,
)
