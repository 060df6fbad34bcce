package figdeck.command.template

import arrow.core.Either
import arrow.core.left
import arrow.core.raise.either
import arrow.core.raise.ensure
import arrow.core.raise.ensureNotNull
import arrow.core.right
import figdeck.model.Configuration
import figdeck.model.Fault
import figdeck.model.Revision
import figdeck.model.Team
import figdeck.model.TeamId
import figdeck.model.Template
import figdeck.model.TemplateEdit
import figdeck.model.TemplateName
import figdeck.model.TemplatePatch

/**
 * Validates [edit] against [configuration] and decides what it changes. With [expected], the edit is refused unless the
 * configuration is at that revision.
 */
public fun decideEdit(
    configuration: Configuration,
    edit: TemplateEdit,
    expected: Revision?,
): Either<EditRefusal, TemplatePatch> = either {
    ensure(expected == null || expected == configuration.revision) { EditRefusal.Conflict(configuration.revision) }
    val faulty: (List<Fault>) -> EditRefusal = { EditRefusal.Faulty(it) }
    when (edit) {
        is TemplateEdit.Apply -> decideApply(configuration, edit.template).mapLeft(faulty).bind()
        is TemplateEdit.Remove -> decideRemove(configuration, edit.name).mapLeft(faulty).bind()
        is TemplateEdit.GrantKey -> decideGrant(configuration, edit).mapLeft(faulty).bind()
        is TemplateEdit.WithdrawKey -> decideWithdrawal(configuration, edit).mapLeft(faulty).bind()
    }
}

private fun decideApply(configuration: Configuration, template: Template): Either<List<Fault>, TemplatePatch> {
    val faults = crossTemplateFaults(configuration, template) + sizeFaults(configuration, template)
    val present = configuration.templates[template.name]
    return if (faults.isEmpty()) patchBetween(present, template).right() else faults.left()
}

private fun decideRemove(configuration: Configuration, name: TemplateName): Either<List<Fault>, TemplatePatch> =
    if (name in configuration.templates) {
        TemplatePatch.Remove(name).right()
    } else {
        listOf(Fault("name", "no template '$name' is in force: see 'figdeck template show'")).left()
    }

private fun decideGrant(
    configuration: Configuration,
    edit: TemplateEdit.GrantKey,
): Either<List<Fault>, TemplatePatch> = either {
    val unknown = Fault("team", "no template has team '${edit.team}': apply one that does")
    val owner = ensureNotNull(configuration.templates.values.find { it.hasTeam(edit.team) }) { listOf(unknown) }
    val team = owner.teams.first { it.id == edit.team }
    val idIsFree = team.keys.none { it.id == edit.key.id }
    ensure(idIsFree) { listOf(Fault("id", "team '${team.id}' has a key '${edit.key.id}' already: choose another id")) }
    val hashIsNew = team.keys.none { it.hash == edit.key.hash }
    ensure(hashIsNew) { listOf(Fault("sha256", "team '${team.id}' has this key already: make a new key")) }
    decideApply(configuration, owner.with(team.copy(keys = team.keys + edit.key))).bind()
}

private fun decideWithdrawal(
    configuration: Configuration,
    edit: TemplateEdit.WithdrawKey,
): Either<List<Fault>, TemplatePatch> = either {
    val teams = configuration.templates.values.flatMap { it.teams }
    val holders = teams.filter { team -> team.keys.any { it.id == edit.key } && edit.team in setOf(null, team.id) }
    ensure(holders.isNotEmpty()) {
        listOf(Fault("key", "no team has a key '${edit.key}': see 'figdeck key list'"))
    }
    val names = holders.joinToString { it.id.value }
    ensure(holders.size == 1) {
        listOf(Fault("key", "several teams have a key '${edit.key}' ($names): name one with --team"))
    }
    val team = holders.single()
    val owner = configuration.templates.values.first { it.hasTeam(team.id) }
    patchBetween(owner, owner.with(team.copy(keys = team.keys.filterNot { it.id == edit.key })))
}

private fun Template.hasTeam(id: TeamId): Boolean = teams.any { it.id == id }

private fun Template.with(team: Team): Template = copy(teams = teams.map { if (it.id == team.id) team else it })
