package figdeck.command.template

import figdeck.model.Configuration
import figdeck.model.ConfigurationChange
import figdeck.model.ListPatch
import figdeck.model.Template
import figdeck.model.TemplatePatch

/** The patch that turns [present], null if no template of that name is in force, into [next]. */
internal fun patchBetween(present: Template?, next: Template): TemplatePatch.Put = TemplatePatch.Put(
    name = next.name,
    retention = next.retention,
    upstreams = patchBetween(present?.upstreams, next.upstreams) { it.id },
    models = patchBetween(present?.models, next.models) { it.name },
    routes = patchBetween(present?.routes, next.routes) { it.name },
    teams = patchBetween(present?.teams, next.teams) { it.id },
)

/** The configuration after [change], whose revision must be the next one. */
public fun Configuration.after(change: ConfigurationChange): Configuration {
    require(change.revision == revision.next()) { "change ${change.revision} doesn't follow revision $revision" }
    val patched = when (val patch = change.patch) {
        is TemplatePatch.Remove -> templates.remove(patch.name)
        is TemplatePatch.Put -> templates.put(patch.name, patched(templates[patch.name], patch))
    }
    return Configuration(change.revision, patched)
}

private fun patched(present: Template?, patch: TemplatePatch.Put): Template = Template(
    name = patch.name,
    upstreams = patched(present?.upstreams, patch.upstreams) { it.id },
    models = patched(present?.models, patch.models) { it.name },
    routes = patched(present?.routes, patch.routes) { it.name },
    teams = patched(present?.teams, patch.teams) { it.id },
    retention = patch.retention,
)

private fun <K, V> patchBetween(present: List<V>?, next: List<V>, name: (V) -> K): ListPatch<K, V> {
    val before = present.orEmpty().associateBy(name)
    val kept = next.map(name).toSet()
    return ListPatch(
        put = next.filter { before[name(it)] != it },
        removed = before.keys.filterNot { it in kept },
    )
}

private fun <K, V> patched(present: List<V>?, patch: ListPatch<K, V>, name: (V) -> K): List<V> {
    val put = patch.put.associateBy(name)
    val removed = patch.removed.toSet()
    val kept = present.orEmpty().filterNot { name(it) in removed }
    val names = kept.map(name).toSet()
    return kept.map { put[name(it)] ?: it } + patch.put.filterNot { name(it) in names }
}
