/** Chooses the service of a call from the weighted services of its rule. */
import {type Random} from '@ebonylead/base/base.js';
import {type Route} from '@ebonylead/rules/route-table.js';

/** The weights of a rule are percentages. */
const totalWeight = 100;

/** Chooses a service at random, in proportion to the weights of the rule. */
export function chooseService(route: Route, random: Random): string {
	const {split} = route.rule;
	if (split.length === 1) {
		return split[0]!.service;
	}

	let point = random.next() * totalWeight;
	for (const share of split) {
		point -= share.weight;
		if (point < 0) {
			return share.service;
		}
	}

	return split.at(-1)!.service;
}
