package figdeck.model

/** Reports duplicate names and unresolved references in [template] to [faults]. */
internal fun checkReferences(template: Template, faults: FaultCollector) {
    checkDuplicates(template, faults)
    checkUpstreamReferences(template, faults)
    checkGrants(template, faults)
}

private fun checkDuplicates(template: Template, faults: FaultCollector) {
    reportDuplicates(template.upstreams.map { it.id.value }, "upstreams", faults)
    reportDuplicates(template.models.map { it.name.value }, "models", faults)
    reportDuplicates(template.routes.map { it.name.value }, "routes", faults)
    reportDuplicates(template.teams.map { it.id.value }, "teams", faults)
    val hashes = template.teams.flatMap { team -> team.keys.map { it.hash.hex } }
    val repeated = hashes.groupingBy { it }.eachCount().count { it.value > 1 }
    faults.expect(repeated == 0, "teams", "$repeated keys stand twice: give each key to one team, once")
}

private fun reportDuplicates(names: List<String>, part: String, faults: FaultCollector) {
    names.groupingBy { it }.eachCount().filterValues { it > 1 }.keys.forEach {
        faults.part(part).add("'$it' stands twice: keep one of them")
    }
}

private fun checkUpstreamReferences(template: Template, faults: FaultCollector) {
    val kinds = template.upstreams.associate { it.id to it.kind }
    template.models.forEachIndexed { i, model ->
        checkUpstreams(model.upstreams, kinds, UpstreamKind.ENGINE, faults.part("models[$i]"))
    }
    template.routes.forEachIndexed { i, route ->
        checkUpstreams(route.upstreams, kinds, UpstreamKind.SERVICE, faults.part("routes[$i]"))
    }
}

private fun checkUpstreams(
    ids: List<UpstreamId>,
    kinds: Map<UpstreamId, UpstreamKind>,
    kind: UpstreamKind,
    faults: FaultCollector,
) {
    ids.forEachIndexed { i, id ->
        val remedy = "'$id' is no ${kind.name.lowercase()} of this template: add it under upstreams"
        faults.expect(kinds[id] == kind, "upstreams[$i]", remedy)
    }
}

private fun checkGrants(template: Template, faults: FaultCollector) {
    val models = template.models.map { it.name }.toSet()
    val routes = template.routes.map { it.name }.toSet()
    template.teams.forEachIndexed { i, team ->
        val teamFaults = faults.part("teams[$i]")
        (team.models - models).forEach { teamFaults.part("models").add("'$it' is no model of this template: add it") }
        (team.routes - routes).forEach { teamFaults.part("routes").add("'$it' is no route of this template: add it") }
    }
}
