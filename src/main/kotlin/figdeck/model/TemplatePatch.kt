package figdeck.model

import kotlin.time.Duration

/** The difference between two versions of a template, so that a change costs as much as it changes. */
public sealed interface TemplatePatch {
    /** The template that changes. */
    public val name: TemplateName

    /** Takes the template out of force. */
    public data class Remove(override val name: TemplateName) : TemplatePatch

    /** Puts the parts that differ; a template that doesn't exist yet is created. */
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
 * @property removed the names of the entries that are gone.
 */
public data class ListPatch<K, V>(
    public val put: List<V> = emptyList(),
    public val removed: List<K> = emptyList(),
)
