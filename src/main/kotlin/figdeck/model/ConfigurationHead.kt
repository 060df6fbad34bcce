package figdeck.model

/**
 * The head row of the stored configuration.
 *
 * @property revision the newest accepted revision.
 * @property snapshot the revision of the newest full snapshot, which a starting daemon loads before it applies later
 * changes.
 */
public data class ConfigurationHead(
    public val revision: Revision,
    public val snapshot: Revision,
)
