/** Creates the check of keys of a mesh node. */
import {type Clock} from '@ebonylead/base/base.js';
import {OrganisationCheck} from '@ebonylead/callers/organisation-check.js';
import {OrganisationMetrics} from '@ebonylead/callers/organisation-metrics.js';
import {type MeshNodeDependencies} from './mesh-node-settings.js';
import {type RulesSync} from './rules-sync.js';

/** Creates the check. The age of a confirmation counts from the store's response, also if another node read it. */
export function createOrganisationCheck({settings, callerProtocol, registry}: MeshNodeDependencies, clock: Clock, rulesSync: RulesSync): OrganisationCheck {
	return new OrganisationCheck({
		headers: callerProtocol.organisationHeaders,
		getConfirmationAge: () => clock.now() - rulesSync.confirmedAt,
		maxConfirmationAge: settings.maxConfirmationAge,
		metrics: new OrganisationMetrics(registry, clock),
	});
}
