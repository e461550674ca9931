/** The bench's wire in front of the decisions: decodes lines into calls, encodes what they have done into lines. */
package rushwood.adapter;
