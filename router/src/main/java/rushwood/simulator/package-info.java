/**
 * The bench's wire before the decisions: decodes lines into calls, encodes what they do into lines.
 */
package rushwood.simulator;
