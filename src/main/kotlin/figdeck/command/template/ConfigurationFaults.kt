package figdeck.command.template

import figdeck.model.Configuration
import figdeck.model.Fault
import figdeck.model.Template

private const val MAX_TEMPLATES = 256
private const val MAX_TEAMS = 50_000
private const val MAX_KEYS = 200_000
private const val MAX_UPSTREAMS = 10_000

/** The faults of [template] with respect to the other templates of [configuration], which can't share names or keys. */
internal fun crossTemplateFaults(configuration: Configuration, template: Template): List<Fault> {
    val others = (configuration.templates - template.name).values
    val names = listOf(
        duplicates("upstreams", others, template.upstreams.map { it.id.value }) {
            it.upstreams.map { u -> u.id.value }
        },
        duplicates("models", others, template.models.map { it.name.value }) { it.models.map { m -> m.name.value } },
        duplicates("routes", others, template.routes.map { it.name.value }) { it.routes.map { r -> r.name.value } },
        duplicates("teams", others, template.teams.map { it.id.value }) { it.teams.map { t -> t.id.value } },
    )
    return names.flatten() + keyFaults(others, template)
}

/** The limits on the size of a configuration that [template] would exceed. */
internal fun sizeFaults(configuration: Configuration, template: Template): List<Fault> {
    val all = configuration.templates.put(template.name, template).values
    val sizes = listOf(
        Size("name", "templates", all.size, MAX_TEMPLATES),
        Size("teams", "teams", all.sumOf { it.teams.size }, MAX_TEAMS),
        Size("teams", "keys", all.sumOf { it.teams.sumOf { team -> team.keys.size } }, MAX_KEYS),
        Size("upstreams", "upstreams", all.sumOf { it.upstreams.size }, MAX_UPSTREAMS),
    )
    return sizes.filter { it.size > it.max }.map {
        Fault(it.path, "the configuration would have ${it.size} ${it.noun}: keep at most ${it.max}")
    }
}

private data class Size(
    val path: String,
    val noun: String,
    val size: Int,
    val max: Int,
)

private fun duplicates(
    part: String,
    others: Collection<Template>,
    names: List<String>,
    namesOf: (Template) -> List<String>,
): List<Fault> {
    val owners = others.flatMap { other -> namesOf(other).map { it to other.name } }.toMap()
    return names.mapIndexedNotNull { i, name ->
        owners[name]?.let { Fault("$part[$i]", "'$name' stands in template '$it' too: keep it in one of them") }
    }
}

private fun keyFaults(others: Collection<Template>, template: Template): List<Fault> {
    val owners = others.flatMap { it.teams }.flatMap { team -> team.keys.map { it.hash to team.id } }.toMap()
    return template.teams.flatMapIndexed { i, team ->
        team.keys.mapIndexedNotNull { k, key ->
            val path = "teams[$i].keys[$k].sha256"
            owners[key.hash]?.let { Fault(path, "team '$it' has this key already: give each key to one team") }
        }
    }
}
