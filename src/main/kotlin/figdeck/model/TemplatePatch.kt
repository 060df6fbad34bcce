package figdeck.model

import kotlin.time.Duration

/** The difference between two versions of a template, so that the cost of a change is proportional to its size. */
public sealed interface TemplatePatch {
    /** The name of the template that changes. */
    public val name: TemplateName

    /** Takes the template out of force. */
    public data class Remove(override val name: TemplateName) : TemplatePatch

    /** Applies the entries that differ. Creates the template if it doesn't exist. */
    public data class Put(
        override val name: TemplateName,
        public val retention: Duration,
        public val upstreams: ListPatch<UpstreamId, Upstream> = ListPatch(),
        public val models: ListPatch<ModelName, ModelPool> = ListPatch(),
        public val routes: ListPatch<RouteName, Route> = ListPatch(),
        public val teams: ListPatch<TeamId, Team> = ListPatch(),
    ) : TemplatePatch
}

/**
 * The difference between two versions of one list of a template.
 *
 * @property put the entries that are new or differ.
 * @property removed the names of the entries that were removed.
 */
public data class ListPatch<K, V>(
    public val put: List<V> = emptyList(),
    public val removed: List<K> = emptyList(),
)
