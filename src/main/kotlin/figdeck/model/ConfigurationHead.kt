package figdeck.model

/**
 * The head row of the stored configuration.
 *
 * @property revision the newest accepted revision.
 * @property snapshot the revision of the newest whole copy, from which a starting daemon reads on.
 */
public data class ConfigurationHead(
    public val revision: Revision,
    public val snapshot: Revision,
)
