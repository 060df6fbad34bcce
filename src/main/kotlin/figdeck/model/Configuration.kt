package figdeck.model

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/** All templates in force at a [revision]. */
public data class Configuration(
    public val revision: Revision,
    public val templates: PersistentMap<TemplateName, Template>,
)

/** The configuration of a deployment before the first template is applied. */
public val emptyConfiguration: Configuration = Configuration(Revision(0), persistentMapOf())
